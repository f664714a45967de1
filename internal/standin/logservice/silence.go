package logservice

import (
	"io"
	"net/http"
)

// silenceOpenConnections marks all known connections as silent. The caller holds the
// mutex.
func (s *Service) silenceOpenConnections() {
	for address := range s.connections {
		s.connections[address] = true
	}
}

// holdSilentConnections blocks requests on silent connections until the client closes
// the connection.
func (s *Service) holdSilentConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isSilent(r.RemoteAddr) {
			// The server detects that the client has closed the connection only
			// after the body has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(&silencingWriter{ResponseWriter: w, request: r, service: s}, r)
	})
}

// isSilent registers a connection and reports whether it is silent. It counts the
// requests on silent connections.
func (s *Service) isSilent(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	silent := s.connections[address]
	s.connections[address] = silent
	if silent {
		s.counts.Silenced++
	}
	return silent
}

// silencingWriter withholds the response to a request whose connection became silent
// while the request was being served.
type silencingWriter struct {
	http.ResponseWriter
	request *http.Request
	service *Service
}

// WriteHeader writes the headers unless the connection is silent.
func (w *silencingWriter) WriteHeader(status int) {
	if w.service.isSilent(w.request.RemoteAddr) {
		<-w.request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.ResponseWriter.WriteHeader(status)
}
