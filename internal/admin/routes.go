package admin

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// Route is one method and path of the API.
type Route struct {
	Method string
	// Path is a pattern in the syntax of httprouter.
	Path string
	// Role is the role that a token needs in the workspace named by the path or the
	// body, or in the mesh when neither names one.
	Role   publish.Role
	handle handler
}

// handler serves one request. An error that is not a *Problem is reported as an
// internal error.
type handler func(w http.ResponseWriter, r *request) error

// request is an HTTP request with its path parameters and its principal.
type request struct {
	*http.Request
	params httprouter.Params
	// role is the role that the token needs.
	role publish.Role
	// principal is set once the request is authorized.
	principal Principal
}

// workspaceInBody lists the paths whose handlers authorize requests themselves,
// after they have read the workspace from the body.
var workspaceInBody = map[string]bool{
	"/v1/publications": true,
	"/v1/validate":     true,
}

// workspaceParam is the path parameter that holds the workspace.
const workspaceParam = "workspace"

func (r *request) workspace() string { return r.params.ByName(workspaceParam) }

// Routes lists the routes of the API.
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
		{http.MethodGet, "/v1/rollouts", publish.Reader, s.rollouts},
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
		router.Handle(route.Method, route.Path, s.routeHandler(route))
	}
	router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeProblem(w, notFound("%s", r.URL.Path))
	})
	router.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeProblem(w, &Problem{Type: TypeMethodNotAllowed, Title: "the method is not allowed", Status: http.StatusMethodNotAllowed,
			Detail: r.Method + " " + r.URL.Path})
	})
	router.PanicHandler = func(w http.ResponseWriter, r *http.Request, reason any) {
		s.log.WithField("path", r.URL.Path).Errorf("request handler panicked: %v", reason)
		writeProblem(w, &Problem{Type: TypeInternal, Title: "the request failed", Status: http.StatusInternalServerError})
	}
	return router
}

// routeHandler wraps the handler of a route with metrics, the limit on the body,
// the access check and error responses.
func (s *Server) routeHandler(route Route) httprouter.Handle {
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

// handle authorizes the request, unless the body names the workspace, and runs the
// handler.
func (s *Server) handle(w http.ResponseWriter, r *request, route Route) *Problem {
	if !workspaceInBody[route.Path] {
		if problem := s.authorize(r, r.workspace()); problem != nil {
			return problem
		}
	}
	return s.toProblem(route.Method+" "+route.Path, route.handle(w, r))
}

// toProblem converts the error of a handler to the problem for the client.
func (s *Server) toProblem(route string, err error) *Problem {
	if err == nil {
		return nil
	}
	if problem, ok := err.(*Problem); ok {
		return problem
	}
	s.log.WithError(err).WithField("route", route).Error("request failed")
	return &Problem{Type: TypeInternal, Title: "the request failed", Status: http.StatusInternalServerError, Detail: err.Error()}
}
