package api

import (
	"fmt"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/lacewingyard/lacewingyard/pkg/outcome"
)

// HandleUnknownRoutes makes a router answer unknown paths and methods with an error
// body and status 404 or 405. The message names the listener (callers or operators),
// because the addresses of the two are easily confused.
func HandleUnknownRoutes(router *mux.Router, listener string) {
	refuse := func(status int, problem string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			WriteJSON(w, status, Error{
				Outcome: outcome.NotRun, Reason: outcome.Invalid,
				Message: fmt.Sprintf("%s %s %s on the listener for %s", r.Method, r.URL.Path, problem, listener),
			})
		})
	}
	router.NotFoundHandler = refuse(http.StatusNotFound, "does not exist")
	router.MethodNotAllowedHandler = refuse(http.StatusMethodNotAllowed, "is not the method of this path")
}
