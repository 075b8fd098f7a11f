package etcdgw

import (
	"context"
	"errors"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"bamboofork/internal/store"
)

// errTokenExpired means that the store rejected the token. The call had no effect.
var errTokenExpired = errors.New("store token expired")

// Credentials authenticate a user of the store. The zero value is for a store without authentication.
type Credentials struct {
	User     string
	Password string
}

// LoadCredentials reads credentials from a file with "user:password" in its first line. If the file name is empty, the result
// is the zero value.
func LoadCredentials(file string) (Credentials, error) {
	if file == "" {
		return Credentials{}, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return Credentials{}, eris.Wrap(err, "read store credentials")
	}
	line, _, _ := strings.Cut(string(data), "\n")
	user, password, ok := strings.Cut(strings.TrimSpace(line), ":")
	if !ok || user == "" {
		return Credentials{}, eris.Errorf("store credentials: %s: accepted form: user:password", file)
	}
	return Credentials{User: user, Password: password}, nil
}

// WithCredentials makes the client authenticate with creds and returns the client. It must be called before the first call to
// the store.
func (c *Client) WithCredentials(creds Credentials) *Client {
	c.creds = creds
	return c
}

// authenticate obtains a token if credentials are set and the client has no token. Concurrent calls may obtain several tokens,
// of which the client keeps the last.
func (c *Client) authenticate(ctx context.Context) error {
	if c.creds.User == "" || c.token.Load() != nil {
		return nil
	}
	var out AuthResponse
	err := c.callOnce(ctx, PathAuth, AuthRequest{Name: c.creds.User, Password: c.creds.Password}, &out, false)
	if errors.Is(err, errTokenExpired) {
		return store.ErrDenied
	}
	if err != nil {
		return err
	}
	c.token.Store(&out.Token)
	return nil
}
