// Package replier writes errors as RFC 9457 problem documents, extracts the bearer tokens of
// HTTP requests and limits their size. It is the only place that maps kinds of errors to
// HTTP statuses.
package replier

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/converter"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/configurer"
)

const (
	typePrefix   = "https://wagtailcroft.example/problems/"
	bearerPrefix = "Bearer "
)

var statuses = map[problem.Kind]int{
	problem.BadBody:           http.StatusBadRequest,
	problem.BadRow:            http.StatusBadRequest,
	problem.ImpossibleJob:     http.StatusUnprocessableEntity,
	problem.GuaranteeTooLarge: http.StatusUnprocessableEntity,
	problem.BodyTooLarge:      http.StatusRequestEntityTooLarge,
	problem.BadToken:          http.StatusUnauthorized,
	problem.UrgentNotAllowed:  http.StatusForbidden,
	problem.NotFound:          http.StatusNotFound,
	problem.KeyReused:         http.StatusConflict,
	problem.AlreadyRefused:    http.StatusConflict,
	problem.StaleRow:          http.StatusConflict,
	problem.Conflict:          http.StatusConflict,
	problem.JobNotEnded:       http.StatusConflict,
	problem.JobCancelled:      http.StatusGone,
	problem.JobFailed:         http.StatusBadGateway,
	problem.RunnerFailed:      http.StatusBadGateway,
	problem.TooManyRequests:   http.StatusTooManyRequests,
	problem.TooManyJobs:       http.StatusTooManyRequests,
	problem.QueueFull:         http.StatusServiceUnavailable,
	problem.NoRunner:          http.StatusServiceUnavailable,
	problem.StoreUnavailable:  http.StatusServiceUnavailable,
	problem.Unconfirmed:       http.StatusServiceUnavailable,
	problem.Stopping:          http.StatusServiceUnavailable,
	problem.Busy:              http.StatusServiceUnavailable,
	problem.PeerUnavailable:   http.StatusServiceUnavailable,
	problem.KeptByPlatform:    http.StatusNotImplemented,
	problem.UnknownJob:        http.StatusNotFound,
	problem.Fenced:            http.StatusServiceUnavailable,
	problem.DeadlineTooShort:  http.StatusGatewayTimeout,
	problem.OutcomeUnknown:    http.StatusGatewayTimeout,
}

// Replier writes errors as problem documents.
type Replier struct {
	log zerolog.Logger
}

// New returns a replier that logs each error that it writes.
func New(log zerolog.Logger) *Replier { return &Replier{log: log} }

// Status returns the HTTP status of a kind of error; 500 if the kind is unknown.
func Status(ki problem.Kind) int {
	if status, known := statuses[ki]; known {
		return status
	}
	return http.StatusInternalServerError
}

// Document converts an error to a problem document.
func Document(err error) types.Problem {
	er := problem.From(err)
	return types.Problem{
		Type:             typePrefix + string(er.Kind),
		Title:            er.Kind.Title(),
		Status:           Status(er.Kind),
		Kind:             string(er.Kind),
		Detail:           er.Detail,
		Remedy:           er.Kind.Remedy(),
		Outcome:          converter.SchemaOutcome(er.Outcome),
		RetryAfterMillis: er.RetryAfter,
		Changes:          configurer.ToCellChanges(er.Changes),
	}
}

// Problem writes an error as a problem document. It has the signature of the error handlers
// of the generated servers.
func (re *Replier) Problem(w http.ResponseWriter, r *http.Request, err error) {
	doc := Document(err)
	if doc.RetryAfterMillis > 0 {
		seconds := (doc.RetryAfterMillis + clock.Second - 1) / clock.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(doc.Status)
	if encodeErr := json.NewEncoder(w).Encode(doc); encodeErr != nil {
		re.log.Debug().Err(encodeErr).Msg("clientDisconnected")
	}
	re.log.Info().Str("path", r.URL.Path).Str("kind", doc.Kind).Str("outcome", string(doc.Outcome)).Str("detail", doc.Detail).Msg("requestRefused")
}

// BadRequest writes an error of decoding the request.
func (re *Replier) BadRequest(w http.ResponseWriter, r *http.Request, err error) {
	var tooLarge *http.MaxBytesError
	if eris.As(err, &tooLarge) {
		re.Problem(w, r, problem.New(problem.BodyTooLarge, "the request body is larger than %d bytes", tooLarge.Limit))
		return
	}
	re.Problem(w, r, problem.New(problem.BadBody, "%v", err))
}

// LimitBody makes reading a request body fail after limit bytes.
func LimitBody(limit meter.Bytes, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, int64(limit))
		next.ServeHTTP(w, r)
	})
}

// BearerToken returns the bearer token of a request, or "" if it has none.
func BearerToken(r *http.Request) string {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !found {
		return ""
	}
	return token
}
