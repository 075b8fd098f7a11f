package events

import "github.com/rs/zerolog"

// Events of the ejection of backend servers by entries.
var (
	ServerEjected  = register(1201, "server_ejected", zerolog.WarnLevel, "Requests to a server failed; the entry sends it none for the time on the line, then one as a probe.")
	EjectionCapped = register(1202, "ejection_capped", zerolog.WarnLevel, "A failing server stays in use because half of its pool is already ejected.")
)
