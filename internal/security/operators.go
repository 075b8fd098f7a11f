package security

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bamboofork/internal/events"
)

// Permission is an operator's access level.
type Permission int

// Access levels in ascending order; each includes the lower ones.
const (
	PermissionRead  Permission = iota + 1 // status, metrics, explanations
	PermissionWrite                       // settings and commands
)

// Limits of a credentials file.
const (
	maxCredentialsBytes = 1 << 20
	maxOperators        = 10_000
)

type operator struct {
	name       string
	tokenHash  [sha256.Size]byte // tokens are random, so an unsalted hash suffices
	permission Permission
}

// Operators checks bearer tokens against a file with one operator a line: "name read|write sha256-of-token-in-hex".
// Empty lines and lines starting with # are skipped. The file is reloaded when it changes; invalid content is logged and
// the previous content stays in use.
type Operators struct {
	file string
	log  zerolog.Logger

	mu          sync.Mutex // guards the fields below it
	lastCheckAt time.Time
	stamp       fileStamp
	current     []operator
}

// LoadOperators reads a credentials file. Errors name the invalid line.
func LoadOperators(file string, log zerolog.Logger) (*Operators, error) {
	o := &Operators{file: file, log: log, lastCheckAt: time.Now(), stamp: stampOf(file)}
	var err error
	o.current, err = readOperators(file)
	return o, err
}

func readOperators(file string) ([]operator, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, eris.Wrap(err, "read operator credentials")
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxCredentialsBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "read operator credentials")
	}
	if len(data) > maxCredentialsBytes {
		return nil, eris.Errorf("%s: larger than %d bytes", file, maxCredentialsBytes)
	}
	return ParseOperators(file, data)
}

// ParseOperators decodes the content of a credentials file. The file name is used only in errors, which have the form
// file:line: message.
func ParseOperators(file string, data []byte) ([]operator, error) {
	list := []operator{}
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		op, err := parseOperator(text)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", file, line, err)
		}
		if len(list) == maxOperators {
			return nil, fmt.Errorf("%s:%d: more than %d operators", file, line, maxOperators)
		}
		list = append(list, op)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return list, nil
}

func parseOperator(text string) (operator, error) {
	fields := strings.Fields(text)
	if len(fields) != 3 {
		return operator{}, eris.New("accepted: name, read or write, SHA-256 of the token in hex")
	}
	op := operator{name: fields[0]}
	switch fields[1] {
	case "read":
		op.permission = PermissionRead
	case "write":
		op.permission = PermissionWrite
	default:
		return operator{}, eris.Errorf("permission %q; accepted: read, write", fields[1])
	}
	hash, err := hex.DecodeString(fields[2])
	if err != nil || len(hash) != sha256.Size {
		return operator{}, eris.New("the hash must have 64 hex digits")
	}
	copy(op.tokenHash[:], hash)
	return op, nil
}

// HashToken returns the SHA-256 hash of a token in hex, as stored in a credentials file.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// currentOperators reads the file again if it has changed, at most once per reloadInterval. It returns the operators of the
// latest valid content.
func (o *Operators) currentOperators() []operator {
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Since(o.lastCheckAt) < reloadInterval {
		return o.current
	}
	o.lastCheckAt = time.Now()
	stamp := stampOf(o.file)
	if stamp == o.stamp {
		return o.current
	}
	list, err := readOperators(o.file)
	if err != nil {
		events.CertificateRejected.Log(&o.log).Err(err).Send()
		return o.current
	}
	o.current, o.stamp = list, stamp
	events.CertificateLoaded.Log(&o.log).Str("file", o.file).Int("operators", len(list)).Send()
	return o.current
}

// authenticate returns the operator with the token; ok is false if there is none. The token is compared with those of all
// operators, so that the duration does not reveal which operator matches.
func (o *Operators) authenticate(token string) (found operator, ok bool) {
	sum := sha256.Sum256([]byte(token))
	for _, op := range o.currentOperators() {
		if subtle.ConstantTimeCompare(sum[:], op.tokenHash[:]) == 1 {
			found, ok = op, true
		}
	}
	return found, ok
}

// Require returns a handler that forwards requests to next if their bearer token grants the permission, and otherwise
// responds with 401 or 403 and a JSON problem body. A nil Operators forwards all requests, for deployments without credentials.
func (o *Operators) Require(permission Permission, next http.Handler) http.Handler {
	if o == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		op, known := o.authenticate(token)
		switch {
		case !ok || !known:
			events.OperatorRefused.Log(&o.log).Str("remote", r.RemoteAddr).Str("path", r.URL.Path).Send()
			w.Header().Set("WWW-Authenticate", `Bearer realm="bamboofork"`)
			writeProblem(w, http.StatusUnauthorized, "an operator's bearer token is required")
		case op.permission < permission:
			events.OperatorRefused.Log(&o.log).Str("operator", op.name).Str("path", r.URL.Path).Send()
			writeProblem(w, http.StatusForbidden, "the operator may not do this")
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func writeProblem(w http.ResponseWriter, status int, detail string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	body := map[string]any{"title": http.StatusText(status), "status": status, "detail": detail}
	json.NewEncoder(w).Encode(body) //nolint:errcheck // fails only if the client has disconnected
}
