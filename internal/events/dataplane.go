package events

import "github.com/rs/zerolog"

// Events of keyed requests and of responses to callers.
var (
	ClaimResolved   = register(1501, "claim_resolved", zerolog.InfoLevel, "The agent reported the outcome of a claim that was still open.")
	ClaimUnresolved = register(1502, "claim_unresolved", zerolog.WarnLevel, "It cannot be determined whether the request of a claim ran; its outcome is recorded as unknown.")
	KeyReused       = register(1503, "key_reused", zerolog.WarnLevel, "A caller reused an idempotency key for a different request; the request was rejected.")
	CompleteFailed  = register(1504, "complete_failed", zerolog.WarnLevel, "The outcome of a keyed request could not be recorded; the partition owner will query the agent for it.")
	AnswerCut       = register(1505, "answer_cut", zerolog.InfoLevel, "A response could not be forwarded completely; the caller's connection was aborted.")
	RequestRepeated = register(2501, "request_repeated", zerolog.WarnLevel, "A keyed request reached an agent a second time; the duplicate was not run.")
	AnswerLate      = register(2502, "answer_late", zerolog.InfoLevel, "A keyed request ended after its entry had disconnected; its result is kept for later queries.")
)

// Events of certificates, operator access and the reachability of agents and backend servers.
var (
	CertificateLoaded   = register(1601, "certificate_loaded", zerolog.InfoLevel, "Changed certificates or credentials were loaded and are used for new connections.")
	CertificateRejected = register(1602, "certificate_rejected", zerolog.ErrorLevel, "Changed certificates or credentials could not be loaded; the previous ones stay in use.")
	OperatorRefused     = register(1603, "operator_refused", zerolog.WarnLevel, "A request to an operator endpoint had no valid token, or its token lacks the required permission.")
	ServerLeaving       = register(1604, "server_leaving", zerolog.InfoLevel, "A response of an agent says that the agent is shutting down; this entry sends it no new requests.")
	AgentUnreachable    = register(1605, "agent_unreachable", zerolog.WarnLevel, "The data connection to an agent broke; the agent gets no new requests until it responds to a probe.")
	AgentReached        = register(1606, "agent_reached", zerolog.InfoLevel, "An unreachable agent responded to a probe.")
	BackendDown         = register(2511, "backend_down", zerolog.WarnLevel, "The backend server does not accept connections or does not respond to probes.")
	BackendUp           = register(2512, "backend_up", zerolog.InfoLevel, "The backend server responds again.")
	ControlAnswerLate   = register(2513, "control_answer_late", zerolog.DebugLevel, "The reply to a control call arrived after the call had timed out or been cancelled.")
)
