package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"rattanpath/queue"
	"rattanpath/views"
)

// maxExplainRequest limits a request to explain, in bytes: the body is encoded in base64, and
// host, path and hash are short.
const maxExplainRequest = views.MaxExplainBody*4/3 + 64<<10

// serveExplain explains what would be done with a caller's request. One is explained at a time,
// which bounds the memory and the time that it takes from callers.
func (s *adminServer) serveExplain(w http.ResponseWriter, r *http.Request) {
	if !s.explaining.TryLock() {
		s.writeError(w, http.StatusTooManyRequests, errors.New("another request is being explained"))
		return
	}
	defer s.explaining.Unlock()
	ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
	defer cancel()
	// A client that sends slowly would keep others from asking.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(adminTimeout))
	request, err := readExplainRequest(w, r)
	if err != nil {
		s.writeError(w, http.StatusBadRequest, err)
		return
	}
	explanation := s.handler.Explain(ctx, s.client, request)
	explanation.Node = s.settings.Name
	s.server.WriteJSON(w, explanation)
}

// readExplainRequest reads a request to explain. Its errors don't show what was read.
func readExplainRequest(w http.ResponseWriter, r *http.Request) (views.ExplainRequest, error) {
	var request views.ExplainRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxExplainRequest)).Decode(&request)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return request, errors.Errorf("the request to explain is larger than %d bytes", maxExplainRequest)
	case err != nil:
		return request, errors.New("the request to explain can't be read")
	case len(request.KeyHash) != 0 && len(request.KeyHash) != len(queue.KeyHash{}):
		return request, errors.New("the hash of the key has the wrong length")
	default:
		return request, nil
	}
}
