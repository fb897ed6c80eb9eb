package s3

import (
	"encoding/xml"
	"errors"
	"fmt"
	"time"

	"arrowwalk/internal/front/s3/sigv4"
)

// apiError is an error response of the object API.
type apiError struct {
	status     int
	code       string
	message    string
	retryAfter time.Duration // advice to the client, sent with status 503
}

func (e *apiError) Error() string { return e.code + ": " + e.message }

// newAPIError returns an apiError with a formatted message.
func newAPIError(status int, code, format string, args ...any) error {
	return &apiError{status: status, code: code, message: fmt.Sprintf(format, args...)}
}

// errTruncated closes the connection without further bytes, because the
// response has already started and cannot be completed.
var errTruncated = errors.New("response truncated")

// errClientGone reports that the client has disconnected, so no response is
// written.
var errClientGone = errors.New("client disconnected")

// Error responses shared by several handlers.
var (
	errNoSuchKey           = newAPIError(404, "NoSuchKey", "The specified key does not exist.")
	errNoSuchBucket        = newAPIError(404, "NoSuchBucket", "The specified bucket does not exist.")
	errNoSuchUpload        = newAPIError(404, "NoSuchUpload", "The specified multipart upload does not exist.")
	errMethodNotAllowed    = newAPIError(405, "MethodNotAllowed", "The specified method is not allowed against this resource.")
	errNotImplemented      = newAPIError(501, "NotImplemented", "A header or query you provided implies functionality that is not implemented.")
	errPrecondition        = newAPIError(412, "PreconditionFailed", "At least one of the preconditions you specified did not hold.")
	errNotModified         = &apiError{status: 304, code: "NotModified"}
	errMalformedXML        = newAPIError(400, "MalformedXML", "The XML you provided was not well-formed or did not validate.")
	errInternal            = newAPIError(500, "InternalError", "The request may or may not have taken effect.")
	errRequestTimeout      = newAPIError(400, "RequestTimeout", "Your socket connection to the server was not read from or written to within the timeout period.")
	errIncompleteBody      = newAPIError(400, "IncompleteBody", "You did not provide the number of bytes specified by the Content-Length header.")
	errTooLarge            = newAPIError(400, "EntityTooLarge", "Your proposed upload exceeds the maximum allowed object size.")
	errInsufficientStorage = newAPIError(507, "InsufficientStorage", "The brick that stores this key has no free space.")
)

// errOwnerMissing reports that the blob that a write consumes does not exist: the write
// had no effect, but an earlier attempt of it may have had.
var errOwnerMissing = newAPIError(500, "InternalError", "The request may or may not have taken effect.")

// slowDown returns a 503 response that asks the client to retry after the
// given time.
func slowDown(retryAfter time.Duration) error {
	return &apiError{status: 503, code: "SlowDown", message: "Please reduce your request rate.", retryAfter: retryAfter}
}

// signatureErrorStatus maps error codes of sigv4 to HTTP statuses; other codes
// are answered with 400.
var signatureErrorStatus = map[string]int{
	"AccessDenied": 403, "InvalidAccessKeyId": 403, "SignatureDoesNotMatch": 403, "RequestTimeTooSkewed": 403,
}

// toAPIError returns the error response for err, or nil if err is neither an
// apiError nor a sigv4.Error.
func toAPIError(err error) *apiError {
	var apiErr *apiError
	var signErr *sigv4.Error
	switch {
	case errors.As(err, &apiErr):
		return apiErr
	case errors.As(err, &signErr):
		status := signatureErrorStatus[signErr.Code]
		if status == 0 {
			status = 400
		}
		return &apiError{status: status, code: signErr.Code, message: signErr.Message}
	}
	return nil
}

// errorBody is the XML body of an error response.
type errorBody struct {
	XMLName   xml.Name `xml:"Error"`
	Code      string
	Message   string
	Resource  string
	RequestID string `xml:"RequestId"`
	HostID    string `xml:"HostId"`
}
