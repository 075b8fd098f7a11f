package events

import "github.com/rs/zerolog"

// Store events.
var (
	StoreUnavailable    = register(7001, "store_unavailable", zerolog.WarnLevel, "Calls to the store fail; operations that need it are refused.")
	StoreRecovered      = register(7002, "store_recovered", zerolog.InfoLevel, "Calls to the store succeed again.")
	LeaseLost           = register(7003, "lease_lost", zerolog.WarnLevel, "A store lease expired or could not be renewed in time.")
	WatchRestarted      = register(7004, "watch_restarted", zerolog.InfoLevel, "A watch was interrupted and resumed from the last revision received.")
	StoreItemUnreadable = register(7005, "store_item_unreadable", zerolog.WarnLevel, "An item or event of the store cannot be decoded and is left out. Logged once for each key.")
)
