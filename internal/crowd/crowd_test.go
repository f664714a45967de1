//go:build !race

package crowd

import "testing"

// The tests guard against a crowd that ends a daemon, fills its memory or its
// descriptors, or keeps ordinary callers out: one test for each crowd and place.

func TestCrowdOnePieceAtRoute(t *testing.T)       { runCrowd(t, "platform", onePiece, atRoute) }
func TestCrowdOnePieceAtNoRoute(t *testing.T)     { runCrowd(t, "platform", onePiece, atNoRoute) }
func TestCrowdOnePieceAtReady(t *testing.T)       { runCrowd(t, "platform", onePiece, atReady) }
func TestCrowdSmallPiecesAtRoute(t *testing.T)    { runCrowd(t, "platform", smallPieces, atRoute) }
func TestCrowdSmallPiecesAtNoRoute(t *testing.T)  { runCrowd(t, "platform", smallPieces, atNoRoute) }
func TestCrowdSmallPiecesAtReady(t *testing.T)    { runCrowd(t, "platform", smallPieces, atReady) }
func TestCrowdChunkedAtRoute(t *testing.T)        { runCrowd(t, "platform", chunked, atRoute) }
func TestCrowdChunkedAtNoRoute(t *testing.T)      { runCrowd(t, "platform", chunked, atNoRoute) }
func TestCrowdChunkedAtReady(t *testing.T)        { runCrowd(t, "platform", chunked, atReady) }
func TestCrowdStopsShortAtRoute(t *testing.T)     { runCrowd(t, "platform", stopsShort, atRoute) }
func TestCrowdStopsShortAtNoRoute(t *testing.T)   { runCrowd(t, "platform", stopsShort, atNoRoute) }
func TestCrowdStopsShortAtReady(t *testing.T)     { runCrowd(t, "platform", stopsShort, atReady) }
func TestCrowdLongStopsShortAtRoute(t *testing.T) { runCrowd(t, "platform", longStopsShort, atRoute) }
func TestCrowdLongStopsShortAtNoRoute(t *testing.T) {
	runCrowd(t, "platform", longStopsShort, atNoRoute)
}
func TestCrowdLongStopsShortAtReady(t *testing.T)  { runCrowd(t, "platform", longStopsShort, atReady) }
func TestCrowdStatedExcessAtRoute(t *testing.T)    { runCrowd(t, "platform", statedExcess, atRoute) }
func TestCrowdStatedExcessAtNoRoute(t *testing.T)  { runCrowd(t, "platform", statedExcess, atNoRoute) }
func TestCrowdStatedExcessAtReady(t *testing.T)    { runCrowd(t, "platform", statedExcess, atReady) }
func TestCrowdChunkedExcessAtRoute(t *testing.T)   { runCrowd(t, "platform", chunkedExcess, atRoute) }
func TestCrowdChunkedExcessAtNoRoute(t *testing.T) { runCrowd(t, "platform", chunkedExcess, atNoRoute) }
func TestCrowdChunkedExcessAtReady(t *testing.T)   { runCrowd(t, "platform", chunkedExcess, atReady) }
func TestCrowdManyFieldsAtRoute(t *testing.T)      { runCrowd(t, "platform", manyFields, atRoute) }
func TestCrowdManyFieldsAtNoRoute(t *testing.T)    { runCrowd(t, "platform", manyFields, atNoRoute) }
func TestCrowdManyFieldsAtReady(t *testing.T)      { runCrowd(t, "platform", manyFields, atReady) }
func TestCrowdEndlessFieldsAtRoute(t *testing.T)   { runCrowd(t, "platform", endlessFields, atRoute) }
func TestCrowdEndlessFieldsAtNoRoute(t *testing.T) { runCrowd(t, "platform", endlessFields, atNoRoute) }
func TestCrowdEndlessFieldsAtReady(t *testing.T)   { runCrowd(t, "platform", endlessFields, atReady) }
func TestCrowdPipelinedAtRoute(t *testing.T)       { runCrowd(t, "platform", pipelined, atRoute) }
func TestCrowdPipelinedAtNoRoute(t *testing.T)     { runCrowd(t, "platform", pipelined, atNoRoute) }
func TestCrowdPipelinedAtReady(t *testing.T)       { runCrowd(t, "platform", pipelined, atReady) }
func TestCrowdPipelinedLongAtRoute(t *testing.T)   { runCrowd(t, "platform", pipelinedLong, atRoute) }
func TestCrowdPipelinedLongAtNoRoute(t *testing.T) { runCrowd(t, "platform", pipelinedLong, atNoRoute) }
func TestCrowdPipelinedLongAtReady(t *testing.T)   { runCrowd(t, "platform", pipelinedLong, atReady) }
func TestCrowdSlowHeadsAtRoute(t *testing.T)       { runCrowd(t, "platform", slowHeads, atRoute) }
func TestCrowdSlowHeadsAtNoRoute(t *testing.T)     { runCrowd(t, "platform", slowHeads, atNoRoute) }
func TestCrowdSlowHeadsAtReady(t *testing.T)       { runCrowd(t, "platform", slowHeads, atReady) }
func TestCrowdSlowBodiesAtRoute(t *testing.T)      { runCrowd(t, "platform", slowBodies, atRoute) }
func TestCrowdSlowBodiesAtNoRoute(t *testing.T)    { runCrowd(t, "platform", slowBodies, atNoRoute) }
func TestCrowdSlowBodiesAtReady(t *testing.T)      { runCrowd(t, "platform", slowBodies, atReady) }
func TestCrowdSlowReadersAtRoute(t *testing.T)     { runCrowd(t, "platform", slowReaders, atRoute) }
func TestCrowdSlowReadersAtNoRoute(t *testing.T)   { runCrowd(t, "platform", slowReaders, atNoRoute) }
func TestCrowdSlowReadersAtReady(t *testing.T)     { runCrowd(t, "platform", slowReaders, atReady) }
func TestCrowdHalfHeadsAtRoute(t *testing.T)       { runCrowd(t, "platform", halfHeads, atRoute) }
func TestCrowdHalfHeadsAtNoRoute(t *testing.T)     { runCrowd(t, "platform", halfHeads, atNoRoute) }
func TestCrowdHalfHeadsAtReady(t *testing.T)       { runCrowd(t, "platform", halfHeads, atReady) }
func TestCrowdSilentAtRoute(t *testing.T)          { runCrowd(t, "platform", silent, atRoute) }
func TestCrowdSilentAtNoRoute(t *testing.T)        { runCrowd(t, "platform", silent, atNoRoute) }
func TestCrowdSilentAtReady(t *testing.T)          { runCrowd(t, "platform", silent, atReady) }
func TestCrowdExtensionsAtRoute(t *testing.T)      { runCrowd(t, "platform", extensions, atRoute) }
func TestCrowdExtensionsAtNoRoute(t *testing.T)    { runCrowd(t, "platform", extensions, atNoRoute) }
func TestCrowdExtensionsAtReady(t *testing.T)      { runCrowd(t, "platform", extensions, atReady) }
func TestCrowdTrailersAtRoute(t *testing.T)        { runCrowd(t, "platform", trailers, atRoute) }
func TestCrowdTrailersAtNoRoute(t *testing.T)      { runCrowd(t, "platform", trailers, atNoRoute) }
func TestCrowdTrailersAtReady(t *testing.T)        { runCrowd(t, "platform", trailers, atReady) }
func TestCrowdFoldedLinesAtRoute(t *testing.T)     { runCrowd(t, "platform", foldedLines, atRoute) }
func TestCrowdFoldedLinesAtNoRoute(t *testing.T)   { runCrowd(t, "platform", foldedLines, atNoRoute) }
func TestCrowdFoldedLinesAtReady(t *testing.T)     { runCrowd(t, "platform", foldedLines, atReady) }
func TestCrowdNoNamesAtRoute(t *testing.T)         { runCrowd(t, "platform", noNames, atRoute) }
func TestCrowdNoNamesAtNoRoute(t *testing.T)       { runCrowd(t, "platform", noNames, atNoRoute) }
func TestCrowdNoNamesAtReady(t *testing.T)         { runCrowd(t, "platform", noNames, atReady) }
func TestCrowdLengthAndChunkAtRoute(t *testing.T)  { runCrowd(t, "platform", lengthAndChunk, atRoute) }
func TestCrowdLengthAndChunkAtNoRoute(t *testing.T) {
	runCrowd(t, "platform", lengthAndChunk, atNoRoute)
}
func TestCrowdLengthAndChunkAtReady(t *testing.T) { runCrowd(t, "platform", lengthAndChunk, atReady) }
func TestCrowdMixedAtRoute(t *testing.T)          { runCrowd(t, "platform", mixed, atRoute) }
func TestCrowdMixedAtNoRoute(t *testing.T)        { runCrowd(t, "platform", mixed, atNoRoute) }
func TestCrowdMixedAtReady(t *testing.T)          { runCrowd(t, "platform", mixed, atReady) }

// The same with the built-in interfaces, whose front end differs.

func TestBuiltCrowdOnePieceAtRoute(t *testing.T)      { runCrowd(t, "none", onePiece, atRoute) }
func TestBuiltCrowdStopsShortAtRoute(t *testing.T)    { runCrowd(t, "none", stopsShort, atRoute) }
func TestBuiltCrowdManyFieldsAtRoute(t *testing.T)    { runCrowd(t, "none", manyFields, atRoute) }
func TestBuiltCrowdEndlessFieldsAtRoute(t *testing.T) { runCrowd(t, "none", endlessFields, atRoute) }
func TestBuiltCrowdSlowReadersAtRoute(t *testing.T)   { runCrowd(t, "none", slowReaders, atRoute) }
func TestBuiltCrowdSilentAtRoute(t *testing.T)        { runCrowd(t, "none", silent, atRoute) }
func TestBuiltCrowdMixedAtRoute(t *testing.T)         { runCrowd(t, "none", mixed, atRoute) }

// The other ports are open to whoever reaches them.

func TestCrowdSilentAtCalls(t *testing.T)          { runCrowd(t, "platform", silent, atCalls) }
func TestCrowdEndlessFieldsAtCalls(t *testing.T)   { runCrowd(t, "platform", endlessFields, atCalls) }
func TestCrowdMixedAtCalls(t *testing.T)           { runCrowd(t, "platform", mixed, atCalls) }
func TestCrowdSilentAtAdmin(t *testing.T)          { runCrowd(t, "platform", silent, atAdmin) }
func TestCrowdEndlessFieldsAtAdmin(t *testing.T)   { runCrowd(t, "platform", endlessFields, atAdmin) }
func TestCrowdMixedAtAdmin(t *testing.T)           { runCrowd(t, "platform", mixed, atAdmin) }
func TestCrowdSilentAtTarget(t *testing.T)         { runCrowd(t, "platform", silent, atTarget) }
func TestCrowdEndlessFieldsAtTarget(t *testing.T)  { runCrowd(t, "platform", endlessFields, atTarget) }
func TestCrowdMixedAtTarget(t *testing.T)          { runCrowd(t, "platform", mixed, atTarget) }
func TestCrowdSilentAtMetrics(t *testing.T)        { runCrowd(t, "platform", silent, atMetrics) }
func TestCrowdEndlessFieldsAtMetrics(t *testing.T) { runCrowd(t, "platform", endlessFields, atMetrics) }
func TestCrowdMixedAtMetrics(t *testing.T)         { runCrowd(t, "platform", mixed, atMetrics) }
func TestCrowdSilentAtControl(t *testing.T)        { runCrowd(t, "platform", silent, atControl) }
func TestCrowdEndlessFieldsAtControl(t *testing.T) { runCrowd(t, "platform", endlessFields, atControl) }
func TestCrowdMixedAtControl(t *testing.T)         { runCrowd(t, "platform", mixed, atControl) }
