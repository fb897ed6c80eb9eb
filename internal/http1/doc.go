// Package http1 reads and writes HTTP/1.1 messages (RFC 9110, RFC 9112). It is
// used on connections from clients and on connections to bricks.
//
// The parser is strict wherever leniency could let two parsers disagree about
// the end of a message: it rejects a bare LF, obs-fold, white space before a
// colon, repeated Content-Length fields, Content-Length together with
// Transfer-Encoding, and any transfer coding but chunked. Everything that a
// peer sends is checked against Limits before it is stored.
package http1
