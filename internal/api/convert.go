package api

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"coveferry/internal/wire"
)

// Convertible is an error that can be converted to one for callers.
type Convertible interface {
	error
	API() *Error
}

// From converts any error to one for callers. An error that isn't Convertible becomes an
// internal error without its text, and with Run unknown.
func From(err error) *Error {
	var known Convertible
	if errors.As(err, &known) {
		return known.API()
	}
	return &Error{
		Status:  http.StatusInternalServerError,
		Type:    TypeUnavailable,
		Code:    "internal",
		Message: "the router failed; the request may have run",
		Run:     wire.RunUnknown,
	}
}
