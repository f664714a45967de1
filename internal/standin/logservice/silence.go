package logservice

import (
	"io"
	"net/http"
)

// silenceOpen makes every connection known so far go silent. The caller holds
// the mutex.
func (s *Service) silenceOpen() {
	for address := range s.connections {
		s.connections[address] = true
	}
}

// withSilence keeps requests of silent connections until their client leaves.
func (s *Service) withSilence(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isSilent(r.RemoteAddr) {
			// Only after the body can the server see that the client left.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(&silencingWriter{ResponseWriter: w, request: r, service: s}, r)
	})
}

// isSilent remembers a connection and reports whether it has gone silent.
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

// silencingWriter holds the answer to a request that was being served when
// its connection went silent.
type silencingWriter struct {
	http.ResponseWriter
	request *http.Request
	service *Service
}

// WriteHeader writes the header unless the connection has gone silent.
func (w *silencingWriter) WriteHeader(status int) {
	if w.service.isSilent(w.request.RemoteAddr) {
		<-w.request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.ResponseWriter.WriteHeader(status)
}
