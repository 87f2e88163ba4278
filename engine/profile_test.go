package engine

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gorilla/mux"

	"rattanpath/views"
)

// TestProfilesAreServed guards against a node in a peak of which nothing tells what its processor
// time goes to.
func TestProfilesAreServed(t *testing.T) {
	router := mux.NewRouter()
	addProfiles(router)
	for _, path := range []string{"", "profile?seconds=1", "goroutine", "heap"} {
		recorder := httptest.NewRecorder()
		router.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, views.ProfilePath+path, nil))
		if recorder.Code != http.StatusOK || recorder.Body.Len() == 0 {
			t.Errorf("got status %d with %d bytes for profile %q, want 200 with a body", recorder.Code, recorder.Body.Len(), path)
		}
	}
}
