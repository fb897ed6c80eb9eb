package s3

import (
	"slices"
)

// subresources lists the query parameters that select a resource other than an
// object, a bucket or an upload. Requests for them are answered with
// NotImplemented.
var subresources = []string{
	"accelerate", "acl", "analytics", "attributes", "cors", "encryption", "intelligent-tiering", "inventory",
	"legal-hold", "lifecycle", "logging", "metrics", "notification", "object-lock", "ownershipControls", "policy",
	"policyStatus", "publicAccessBlock", "replication", "requestPayment", "restore", "retention", "select",
	"session", "tagging", "torrent", "versioning", "versions", "versionId", "website", "metadataTable",
}

// route calls the handler for the method and resource of the request.
func (x *exchange) route() error {
	for _, p := range x.query {
		if slices.Contains(subresources, p.Name) {
			return errNotImplemented
		}
	}
	switch {
	case x.bucket == "":
		if x.conn.req.Method == "GET" {
			return x.listBuckets()
		}
		return errMethodNotAllowed
	case x.key == "":
		return x.routeBucket()
	}
	return x.routeObject()
}

// routeBucket calls the handler of a request for a bucket.
func (x *exchange) routeBucket() error {
	has := func(name string) bool { _, ok := x.query.Lookup(name); return ok }
	switch x.conn.req.Method {
	case "GET":
		switch {
		case has("location"):
			return x.bucketLocation()
		case has("uploads"):
			return x.listUploads()
		}
		return x.listObjects()
	case "HEAD":
		return x.headBucket()
	case "PUT":
		return x.createBucket()
	case "DELETE":
		return x.deleteBucket()
	case "POST":
		if has("delete") {
			return x.deleteObjects()
		}
		return errNotImplemented // browser form uploads (POST Object) are not supported
	}
	return errMethodNotAllowed
}

// isOrdered reports whether the request may write an object's record, so that it has a
// place in the order of the requests for the object.
func (x *exchange) isOrdered() bool {
	_, isPart := x.query.Lookup("partNumber")
	method := x.conn.req.Method
	return method != "GET" && method != "HEAD" && !isPart
}

// routeObject calls the handler of a request for an object or a multipart
// upload.
func (x *exchange) routeObject() error {
	if !x.isOrdered() {
		x.conn.source.FinishRequest()
	}
	uploadID, isUpload := x.query.Lookup("uploadId")
	_, startsUpload := x.query.Lookup("uploads")
	_, isPart := x.query.Lookup("partNumber")
	switch x.conn.req.Method {
	case "GET":
		switch {
		case isUpload:
			return x.listParts(uploadID)
		case isPart:
			return errNotImplemented
		}
		return x.getObject(false)
	case "HEAD":
		if isPart {
			return errNotImplemented
		}
		return x.getObject(true)
	case "PUT":
		_, isCopy := x.conn.req.Fields.Lookup("x-amz-copy-source")
		switch {
		case isUpload && isCopy:
			return errNotImplemented
		case isUpload:
			return x.uploadPart(uploadID)
		case isCopy:
			return x.copyObject()
		}
		return x.putObject()
	case "POST":
		switch {
		case startsUpload:
			return x.createUpload()
		case isUpload:
			return x.completeUpload(uploadID)
		}
		return errNotImplemented
	case "DELETE":
		if isUpload {
			return x.abortUpload(uploadID)
		}
		return x.deleteObject()
	}
	return errMethodNotAllowed
}
