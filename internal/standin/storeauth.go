package standin

import (
	"crypto/rand"
	"crypto/subtle"
	"net/http"
	"strings"
	"sync"

	"github.com/labstack/echo/v4"

	"bamboofork/internal/settings"
	"bamboofork/internal/store/etcdgw"
)

// User is an account of the simulated store.
type User struct {
	Password   string
	IsOperator bool // may write the settings tree
}

// Auth authenticates the clients of the simulated store by token and decides which keys a user may write. mu guards tokens.
type Auth struct {
	users map[string]User // by name

	mu     sync.Mutex
	tokens map[string]string // name of the user by token
}

// NewAuth returns an Auth for the users by name. If there are no users, every call is allowed without a token.
func NewAuth(users map[string]User) *Auth { return &Auth{users: users, tokens: map[string]string{}} }

// InvalidateTokens invalidates all tokens, as a restart of a real store does.
func (a *Auth) InvalidateTokens() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens = map[string]string{}
}

// authenticate handles a login: it responds with a new token if the user name and the password are correct.
func (a *Auth) authenticate(c echo.Context) error {
	var in etcdgw.AuthRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	user, ok := a.users[in.Name]
	if !ok || subtle.ConstantTimeCompare([]byte(user.Password), []byte(in.Password)) != 1 {
		return respondDenied(c, http.StatusUnauthorized, etcdgw.CodeUnauthenticated, "authentication failed")
	}
	token := rand.Text()
	a.mu.Lock()
	a.tokens[token] = in.Name
	a.mu.Unlock()
	return c.JSON(http.StatusOK, etcdgw.AuthResponse{Token: token})
}

func respondDenied(c echo.Context, status, code int, msg string) error {
	return c.JSON(status, etcdgw.ErrorBody{Error: msg, Message: msg, Code: code})
}

// requireToken is a middleware that rejects calls without a valid token. Calls to the authentication endpoint need no token.
func (a *Auth) requireToken(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if len(a.users) == 0 || c.Path() == etcdgw.PathAuth {
			return next(c)
		}
		a.mu.Lock()
		name, ok := a.tokens[c.Request().Header.Get("Authorization")]
		a.mu.Unlock()
		if !ok {
			return respondDenied(c, http.StatusUnauthorized, etcdgw.CodeUnauthenticated, "invalid auth token")
		}
		c.Set("user", name)
		return next(c)
	}
}

// mayWrite reports whether the user of the call may write the key. Only operators may write keys of the settings tree.
func (a *Auth) mayWrite(c echo.Context, key string) bool {
	if len(a.users) == 0 || !strings.HasPrefix(key, settings.Prefix+"/") {
		return true
	}
	name, ok := c.Get("user").(string)
	return ok && a.users[name].IsOperator
}
