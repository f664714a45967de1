package logging

import (
	"bytes"
	"io"
	"log"

	"github.com/sirupsen/logrus"
)

// maxStandardLineBytes is the length in bytes up to which a line of the standard
// logger is kept. net/http writes there, with bytes that it received.
const maxStandardLineBytes = 256

// CaptureStandard makes the standard logger of the process, which libraries use,
// write to logger as warnings. The function that it returns undoes that.
func CaptureStandard(logger *logrus.Logger) (restore func()) {
	out, flags := log.Writer(), log.Flags()
	log.SetFlags(0)
	log.SetOutput(standardWriter{ForComponent(logger, "library")})
	return func() {
		log.SetOutput(out)
		log.SetFlags(flags)
	}
}

// standardWriter logs each line written to it.
type standardWriter struct{ log *logrus.Entry }

var _ io.Writer = standardWriter{}

func (w standardWriter) Write(line []byte) (int, error) {
	text := bytes.TrimSpace(line)
	w.log.Warn(string(text[:min(len(text), maxStandardLineBytes)]))
	return len(line), nil
}
