package logservice_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrybank/mulberrybank/internal/platform"
	"github.com/mulberrybank/mulberrybank/internal/standin/logservice"
)

func TestOldRecordsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := logservice.New(logservice.Options{MaxAge: time.Minute})
		for range 3 {
			_, err := service.Append(t.Context(), "s", []byte("a"))
			assert.NilError(t, err)
			time.Sleep(25 * time.Second)
		}
		_, err := service.Read(t.Context(), "s", 1, 0)
		var expired *platform.ExpiredError
		assert.Assert(t, errors.As(err, &expired))
		assert.Equal(t, expired.Oldest, uint64(2))
		time.Sleep(time.Hour)
		offset, err := service.Append(t.Context(), "s", []byte("a"))
		assert.NilError(t, err)
		assert.Equal(t, offset, uint64(4))
	})
}

func TestReadIsBoundedInBytes(t *testing.T) {
	service := logservice.New(logservice.Options{})
	for range 3 {
		_, err := service.Append(t.Context(), "s", make([]byte, 10))
		assert.NilError(t, err)
	}
	for query, want := range map[string]int{"max_bytes=0": 1, "max_bytes=20": 2, "max_bytes=29": 2, "": 3} {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodGet, "/streams/s/records?from=1&"+query, nil)
		service.Handler().ServeHTTP(recorder, request)
		assert.Equal(t, recorder.Code, http.StatusOK)
		assert.Equal(t, strings.Count(recorder.Body.String(), strings.Repeat("\x00", 10)), want, query)
	}
}

func TestSilentRequestsContinueWhenFaultIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := logservice.New(logservice.Options{})
		service.SetFaults(logservice.Faults{Silent: true})
		offsets := make(chan uint64, 1)
		go func() {
			offset, _ := service.Append(t.Context(), "s", []byte("a"))
			offsets <- offset
		}()
		limited, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		_, err := service.Append(limited, "s", []byte("b"))
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.ErrorIs(t, err, platform.ErrRefused)
		assert.Equal(t, service.Counts().Silenced, uint64(2))
		service.SetFaults(logservice.Faults{})
		assert.Equal(t, <-offsets, uint64(1))
	})
}

func TestSetFaultsOverHTTP(t *testing.T) {
	service := logservice.New(logservice.Options{})
	post := func(body string) int {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "/faults", strings.NewReader(body))
		service.AdminHandler().ServeHTTP(recorder, request)
		return recorder.Code
	}
	assert.Equal(t, post(`{"refuse": true, "delay_ms": 7}`), http.StatusOK)
	assert.Equal(t, service.Faults(), logservice.Faults{Refuse: true, DelayMillis: 7})
	assert.Equal(t, post(`{"refuze": true}`), http.StatusBadRequest)
	assert.Equal(t, service.Faults().Refuse, true)
	assert.Equal(t, post(`{}`), http.StatusOK)
	assert.Equal(t, service.Faults(), logservice.Faults{})
}
