package engine

import (
	"net/http/pprof"

	"github.com/gorilla/mux"

	"rattanpath/views"
)

// addProfiles adds the profiles of the process to a router.
func addProfiles(router *mux.Router) {
	router.HandleFunc(views.ProfilePath+"cmdline", pprof.Cmdline)
	router.HandleFunc(views.ProfilePath+"profile", pprof.Profile)
	router.HandleFunc(views.ProfilePath+"symbol", pprof.Symbol)
	router.HandleFunc(views.ProfilePath+"trace", pprof.Trace)
	router.PathPrefix(views.ProfilePath).HandlerFunc(pprof.Index)
}
