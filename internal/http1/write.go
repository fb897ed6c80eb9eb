package http1

import "strconv"

// AppendStatusLine appends an HTTP/1.1 status line to b.
func AppendStatusLine(b []byte, status int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, StatusText(status)...)
	return append(b, "\r\n"...)
}

// AppendField appends a header field to b. Control bytes of the value, which
// could end the line, are left out so that a value cannot inject a field.
func AppendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	for i := 0; i < len(value); i++ {
		if c := value[i]; c >= ' ' && c != 0x7f || c == '\t' {
			b = append(b, c)
		}
	}
	return append(b, "\r\n"...)
}

// AppendIntField appends a header field with a decimal value to b.
func AppendIntField(b []byte, name string, value int64) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, value, 10)
	return append(b, "\r\n"...)
}

// StatusText returns the reason phrase of a status that arrowwalk sends
// (RFC 9110 section 15), or "Status" for any other.
func StatusText(status int) string {
	switch status {
	case 100:
		return "Continue"
	case 200:
		return "OK"
	case 204:
		return "No Content"
	case 206:
		return "Partial Content"
	case 304:
		return "Not Modified"
	case 400:
		return "Bad Request"
	case 403:
		return "Forbidden"
	case 404:
		return "Not Found"
	case 405:
		return "Method Not Allowed"
	case 408:
		return "Request Timeout"
	case 409:
		return "Conflict"
	case 411:
		return "Length Required"
	case 412:
		return "Precondition Failed"
	case 413:
		return "Content Too Large"
	case 414:
		return "URI Too Long"
	case 416:
		return "Range Not Satisfiable"
	case 417:
		return "Expectation Failed"
	case 425:
		return "Too Early"
	case 431:
		return "Request Header Fields Too Large"
	case 500:
		return "Internal Server Error"
	case 501:
		return "Not Implemented"
	case 502:
		return "Bad Gateway"
	case 503:
		return "Service Unavailable"
	case 504:
		return "Gateway Timeout"
	case 505:
		return "HTTP Version Not Supported"
	case 507:
		return "Insufficient Storage"
	}
	return "Status"
}
