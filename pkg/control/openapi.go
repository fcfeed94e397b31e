package control

import (
	_ "embed" // for openapi.json
	"net/http"
)

//go:embed openapi.json
var openAPI []byte

func serveOpenAPI(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(openAPI) // a write error means that the caller is gone
}
