// Package s3 implements an S3-compatible object API over HTTP/1.1. It reads
// requests from client connections, submits the brick reads and writes that
// they need to the host, and writes exactly one response per request.
//
// The goroutine of a connection parses the request head (http1), verifies its
// signature (sigv4) and calls a handler, which runs tasks on the host. Handlers
// return errors; only exchange.respondError writes them.
//
// An object is stored at the shard of its name, either as one blob of at most
// one piece, or as a manifest of pieces that are distributed by name. The
// manifest is written last and atomically, so an object is complete or absent.
package s3
