package events

import "github.com/rs/zerolog"

// Request path events.
var (
	ClaimResolved   = register(1501, "claim_resolved", zerolog.InfoLevel, "The outcome of an open claim was learned from its agent.")
	ClaimUnresolved = register(1502, "claim_unresolved", zerolog.WarnLevel, "Nobody can say whether the request of a claim ran; it is recorded as unknown.")
	KeyReused       = register(1503, "key_reused", zerolog.WarnLevel, "A caller repeated an idempotency key with a different request; it was refused.")
	CompleteFailed  = register(1504, "complete_failed", zerolog.WarnLevel, "The outcome of a keyed request could not be recorded; the partition owner asks the agent for it.")
	AnswerCut       = register(1505, "answer_cut", zerolog.InfoLevel, "An answer could not be passed on to its end; the caller's connection was aborted.")
	RequestRepeated = register(2501, "request_repeated", zerolog.WarnLevel, "A keyed request arrived twice at an agent; the repeat was not run.")
	AnswerLate      = register(2502, "answer_late", zerolog.InfoLevel, "A keyed request ended after its entry was gone; its result is kept for questions about it.")
)

// Connection, security and leaving events.
var (
	CertificateLoaded   = register(1601, "certificate_loaded", zerolog.InfoLevel, "Changed certificates or credentials are in use for new connections.")
	CertificateRejected = register(1602, "certificate_rejected", zerolog.ErrorLevel, "Changed certificates or credentials cannot be used; the earlier ones stay in use.")
	OperatorRefused     = register(1603, "operator_refused", zerolog.WarnLevel, "A request to an operator endpoint had no valid token or not the right.")
	ServerLeaving       = register(1604, "server_leaving", zerolog.InfoLevel, "An agent's answer says that it is leaving; this entry sends it nothing new.")
	AgentUnreachable    = register(1605, "agent_unreachable", zerolog.WarnLevel, "The data connection to an agent broke; it gets no new requests until a probe is answered.")
	AgentReached        = register(1606, "agent_reached", zerolog.InfoLevel, "A probe of an unreachable agent was answered.")
	BackendDown         = register(2511, "backend_down", zerolog.WarnLevel, "The backend server does not accept connections or does not answer probes.")
	BackendUp           = register(2512, "backend_up", zerolog.InfoLevel, "The backend server answers again.")
	ControlAnswerLate   = register(2513, "control_answer_late", zerolog.DebugLevel, "A control call was answered after its caller had given up.")
)
