package s3

import (
	"encoding/xml"
	"errors"
	"fmt"
	"time"

	"arrowwalk/internal/front/s3/sigv4"
)

// apiError is a refusal as the object API has it.
type apiError struct {
	status  int
	code    string
	message string
	retryAfter   time.Duration // advice to wait, with 503
}

func (e *apiError) Error() string { return e.code + ": " + e.message }

func newAPIError(status int, code, format string, args ...any) error {
	return &apiError{status: status, code: code, message: fmt.Sprintf(format, args...)}
}

// errTruncated ends the connection without another byte: the answer had begun.
var errTruncated = errors.New("the answer is cut short")

// errClientGone means that the client has left: there is nobody to answer.
var errClientGone = errors.New("the client has gone")

// The errors that several handlers give.
var (
	errNoSuchKey      = newAPIError(404, "NoSuchKey", "The specified key does not exist.")
	errNoSuchBucket   = newAPIError(404, "NoSuchBucket", "The specified bucket does not exist.")
	errNoSuchUpload   = newAPIError(404, "NoSuchUpload", "The specified multipart upload does not exist.")
	errMethodNotAllowed         = newAPIError(405, "MethodNotAllowed", "The specified method is not allowed against this resource.")
	errNotImplemented = newAPIError(501, "NotImplemented", "A header or query you provided implies functionality that is not implemented.")
	errPrecondition   = newAPIError(412, "PreconditionFailed", "At least one of the preconditions you specified did not hold.")
	errNotModified    = &apiError{status: 304, code: "NotModified"}
	errMalformedXML   = newAPIError(400, "MalformedXML", "The XML you provided was not well-formed or did not validate.")
	errInternal       = newAPIError(500, "InternalError", "The request may or may not have taken effect.")
	errRequestTimeout        = newAPIError(400, "RequestTimeout", "Your socket connection to the server was not read from or written to within the timeout period.")
	errIncompleteBody     = newAPIError(400, "IncompleteBody", "You did not provide the number of bytes specified by the Content-Length header.")
	errTooLarge       = newAPIError(400, "EntityTooLarge", "Your proposed upload exceeds the maximum allowed object size.")
	errInsufficientStorage       = newAPIError(507, "InsufficientStorage", "The brick that holds this key has no room for it.")
)

func slowDown(after time.Duration) error {
	return &apiError{status: 503, code: "SlowDown", message: "Please reduce your request rate.", retryAfter: after}
}

// signatureErrorStatus maps the codes of sigv4 to statuses.
var signatureErrorStatus = map[string]int{
	"AccessDenied": 403, "InvalidAccessKeyId": 403, "SignatureDoesNotMatch": 403, "RequestTimeTooSkewed": 403,
}

// toAPIError returns the refusal to answer an error with.
func toAPIError(err error) *apiError {
	var api *apiError
	var sign *sigv4.Error
	switch {
	case errors.As(err, &api):
		return api
	case errors.As(err, &sign):
		status := signatureErrorStatus[sign.Code]
		if status == 0 {
			status = 400
		}
		return &apiError{status: status, code: sign.Code, message: sign.Message}
	}
	return nil
}

// errorBody is the specification's XML of an error.
type errorBody struct {
	XMLName   xml.Name `xml:"Error"`
	Code      string
	Message   string
	Resource  string
	RequestID string `xml:"RequestId"`
	HostID    string `xml:"HostId"`
}
