package bench

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// httpClient is the part of http.Client that fetch uses.
type httpClient interface {
	Get(url string) (*http.Response, error)
}

// fetch sends a GET request and reads the complete response. It returns an error
// if the status is not 200.
func fetch(client httpClient, url string) error {
	response, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("GET %s: got status %s, want 200", url, response.Status)
	}
	return nil
}
