package engine

import (
	"net/http/httptest"
	"strings"
	"testing"

	"rattanpath/views"
)

// Guards against many explanations at a time, each of which may hold a body of a MiB and hold up
// a cell.
func TestOneExplanationAtATime(t *testing.T) {
	s := &adminServer{}
	s.explaining.Lock()
	recorder := httptest.NewRecorder()
	s.serveExplain(recorder, httptest.NewRequest("POST", views.ExplainPath, strings.NewReader("{}")))
	if recorder.Code != 429 {
		t.Errorf("got status %d while another request is explained, want 429", recorder.Code)
	}
	s.explaining.Unlock()
	recorder = httptest.NewRecorder()
	s.serveExplain(recorder, httptest.NewRequest("POST", views.ExplainPath, strings.NewReader("{")))
	if recorder.Code != 400 || !s.explaining.TryLock() {
		t.Errorf("got status %d after that, want 400 and the next one allowed", recorder.Code)
	}
}
