package admin

import (
	"net/http"

	"github.com/julienschmidt/httprouter"
)

// Route is one path of the API.
type Route struct {
	Method string
	// Path is in the syntax of httprouter.
	Path string
	// Role is what a token needs. It is held against the workspace in the
	// path, or against the one in the body by the handler.
	Role   Role
	handle handler
}

// handler answers one request. A non-nil error is a *Problem or is reported
// as an internal error.
type handler func(w http.ResponseWriter, r *request) error

// request is one authorized request.
type request struct {
	*http.Request
	params    httprouter.Params
	principal Principal
}

// workspaceParam is the name of the workspace in paths.
const workspaceParam = "workspace"

func (r *request) workspace() string { return r.params.ByName(workspaceParam) }

// Routes lists the paths of the API.
func (s *Server) Routes() []Route {
	return []Route{
		{http.MethodPost, "/v1/publications", Public, s.publish},
		{http.MethodPost, "/v1/validate", Public, s.validate},
		{http.MethodGet, "/v1/workspaces/:workspace/history", Reader, s.history},
		{http.MethodGet, "/v1/workspaces/:workspace/source", Reader, s.source},
		{http.MethodGet, "/v1/workspaces/:workspace/diff", Reader, s.diff},
		{http.MethodPost, "/v1/workspaces/:workspace/rollback", Publisher, s.rollback},
		{http.MethodGet, "/v1/status", Reader, s.status},
		{http.MethodGet, "/v1/members", Reader, s.members},
		{http.MethodPost, "/v1/drain", Administrator, s.drain},
		{http.MethodDelete, "/v1/drain", Administrator, s.resume},
		{http.MethodGet, "/v1/timeline", Administrator, s.timeline},
		{http.MethodGet, "/metrics", Public, s.metrics},
		{http.MethodGet, "/healthz", Public, s.healthz},
		{http.MethodGet, "/readyz", Public, s.readyz},
	}
}

func (s *Server) newRouter() *httprouter.Router {
	router := httprouter.New()
	for _, route := range s.Routes() {
		router.Handle(route.Method, route.Path, s.serve(route))
	}
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeProblem(w, notFound("%s", r.URL.Path))
	})
	router.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeProblem(w, &Problem{Type: TypeMethod, Title: "the method is not allowed", Status: http.StatusMethodNotAllowed,
			Detail: r.Method + " " + r.URL.Path})
	})
	router.PanicHandler = func(w http.ResponseWriter, r *http.Request, reason any) {
		s.log.WithField("path", r.URL.Path).Errorf("request panicked: %v", reason)
		writeProblem(w, &Problem{Type: TypeInternal, Title: "the request failed", Status: http.StatusInternalServerError})
	}
	return router
}

// serve wraps a route with its limits, its access check and its errors.
func (s *Server) serve(route Route) httprouter.Handle {
	name := route.Method + " " + route.Path
	requests := s.Metrics.GetOrCreateCounter(`mulberrybank_admin_requests_total{route="` + name + `"}`)
	failures := s.Metrics.GetOrCreateCounter(`mulberrybank_admin_failures_total{route="` + name + `"}`)
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		requests.Inc()
		r.Body = http.MaxBytesReader(w, r.Body, s.MaxBody)
		principal, problem := s.authorize(r, params.ByName(workspaceParam), route.Role)
		if problem == nil {
			err := route.handle(w, &request{r, params, principal})
			problem = s.problemOf(name, err)
		}
		if problem != nil {
			failures.Inc()
			writeProblem(w, problem)
		}
	}
}

// problemOf turns the error of a handler into what the client is told.
func (s *Server) problemOf(route string, err error) *Problem {
	if err == nil {
		return nil
	}
	if problem, ok := err.(*Problem); ok {
		return problem
	}
	s.log.WithError(err).WithField("route", route).Error("request failed")
	return &Problem{Type: TypeInternal, Title: "the request failed", Status: http.StatusInternalServerError, Detail: err.Error()}
}
