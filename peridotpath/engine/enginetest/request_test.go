package enginetest_test

import (
	"net/http"
	"strings"
)

// request returns a request to the engine of the bench.
func request(method, path, body string) *http.Request {
	made, err := http.NewRequest(method, "http://"+address.String()+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	return made
}
