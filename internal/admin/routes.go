package admin

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// Route is one path of the API.
type Route struct {
	Method string
	// Path is in the syntax of httprouter.
	Path string
	// Role is what a token needs in the workspace that the path or the body
	// names, or in the whole mesh when neither names one.
	Role   publish.Role
	handle handler
}

// handler answers one request. A non-nil error is a *Problem or is reported
// as an internal error.
type handler func(w http.ResponseWriter, r *request) error

// request is one request.
type request struct {
	*http.Request
	params httprouter.Params
	// role is what the token needs.
	role publish.Role
	// principal is who made the request, once it is authorized.
	principal Principal
}

// bodyNamesWorkspace holds the paths whose handlers authorize by themselves,
// after they have read the workspace from the body.
var bodyNamesWorkspace = map[string]bool{
	"/v1/publications": true,
	"/v1/validate":     true,
}

// workspaceParam is the name of the workspace in paths.
const workspaceParam = "workspace"

func (r *request) workspace() string { return r.params.ByName(workspaceParam) }

// Routes lists the paths of the API.
func (s *Server) Routes() []Route {
	return []Route{
		{http.MethodPost, "/v1/publications", publish.Publisher, s.publish},
		{http.MethodPost, "/v1/validate", publish.Publisher, s.validate},
		{http.MethodGet, "/v1/workspaces/:workspace/history", publish.Reader, s.history},
		{http.MethodGet, "/v1/workspaces/:workspace/source", publish.Reader, s.source},
		{http.MethodGet, "/v1/workspaces/:workspace/diff", publish.Reader, s.diff},
		{http.MethodPost, "/v1/workspaces/:workspace/rollback", publish.Publisher, s.rollback},
		{http.MethodGet, "/v1/status", publish.Reader, s.status},
		{http.MethodGet, "/v1/members", publish.Reader, s.members},
		{http.MethodPost, "/v1/drain", publish.Administrator, s.drain},
		{http.MethodDelete, "/v1/drain", publish.Administrator, s.resume},
		{http.MethodGet, "/v1/timeline", publish.Administrator, s.timeline},
		{http.MethodGet, "/v1/openapi.json", Public, s.openAPI},
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
		problem := s.handle(w, &request{Request: r, params: params, role: route.Role}, route)
		if problem != nil {
			failures.Inc()
			writeProblem(w, problem)
		}
	}
}

// handle checks access, unless the body names the workspace, and answers.
func (s *Server) handle(w http.ResponseWriter, r *request, route Route) *Problem {
	if !bodyNamesWorkspace[route.Path] {
		if problem := s.authorize(r, r.workspace()); problem != nil {
			return problem
		}
	}
	return s.problemOf(route.Method+" "+route.Path, route.handle(w, r))
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
