// Package deps keeps the modules that slices are about to use in go.mod.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/alexflint/go-arg"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/dgryski/go-rendezvous"
	_ "github.com/dustin/go-humanize"
	_ "github.com/fsnotify/fsnotify"
	_ "github.com/google/go-cmp/cmp"
	_ "github.com/google/uuid"
	_ "github.com/hashicorp/golang-lru/v2"
	_ "github.com/julienschmidt/httprouter"
	_ "github.com/klauspost/compress/zstd"
	_ "github.com/pb33f/libopenapi"
	_ "github.com/sirupsen/logrus"
	_ "github.com/sourcegraph/conc"
	_ "github.com/tailscale/hujson"
	_ "golang.org/x/sync/singleflight"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
	_ "storj.io/drpc/drpcconn"
)
