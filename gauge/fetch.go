package gauge

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// httpClient sends requests.
type httpClient interface {
	Get(url string) (*http.Response, error)
}

// fetch gets a URL and reads the whole answer, which must be a good one.
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
		return errors.Errorf("got %s", response.Status)
	}
	return nil
}
