package main

import (
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

// answer is what the generated responses have in common.
type answer interface {
	comparable
	GetBody() []byte
	Status() string
	StatusCode() int
}

// refusalOf turns an answer without the expected message into an error.
func refusalOf[A answer](an A, err error) error {
	var none A
	if err != nil || an == none {
		return refusal(nil, nil, err)
	}
	return refusal(&http.Response{Status: an.Status(), StatusCode: an.StatusCode()}, an.GetBody(), nil)
}

func noRow(ws identifier.Workspace) error {
	return eris.Errorf("there is no row %s; create it with: wagtailcroft table set --create %s weight=1", ws, ws)
}
