package main

import (
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

// response is the set of methods shared by the generated response types.
type response interface {
	comparable
	GetBody() []byte
	Status() string
	StatusCode() int
}

// responseError returns the error of a call that did not yield the expected response: err if the
// request itself failed, and the error described by the response otherwise.
func responseError[R response](res R, err error) error {
	var none R
	if err != nil || res == none {
		return httpError(nil, nil, err)
	}
	return httpError(&http.Response{Status: res.Status(), StatusCode: res.StatusCode()}, res.GetBody(), nil)
}

func rowNotFound(ws identifier.Workspace) error {
	return eris.Errorf("row %s does not exist; create it with: wagtailcroft table set --create %s weight=1", ws, ws)
}
