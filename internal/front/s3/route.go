package s3

import (
	"slices"
)

// subresources are the queries that name another thing than an object, a
// bucket or an upload; those that are not served are refused by name.
var subresources = []string{
	"accelerate", "acl", "analytics", "attributes", "cors", "encryption", "intelligent-tiering", "inventory",
	"legal-hold", "lifecycle", "logging", "metrics", "notification", "object-lock", "ownershipControls", "policy",
	"policyStatus", "publicAccessBlock", "replication", "requestPayment", "restore", "retention", "select",
	"session", "tagging", "torrent", "versioning", "versions", "versionId", "website", "metadataTable",
}

// route calls the handler of the request's method and resource.
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
		return errNotImplemented // a form upload
	}
	return errMethodNotAllowed
}

func (x *exchange) routeObject() error {
	upload, isUpload := x.query.Lookup("uploadId")
	_, start := x.query.Lookup("uploads")
	_, isPart := x.query.Lookup("partNumber")
	switch x.conn.req.Method {
	case "GET":
		switch {
		case isUpload:
			return x.listParts(upload)
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
		_, copied := x.conn.req.Fields.Lookup("x-amz-copy-source")
		switch {
		case isUpload && copied:
			return errNotImplemented
		case isUpload:
			return x.uploadPart(upload)
		case copied:
			return x.copyObject()
		}
		return x.putObject()
	case "POST":
		switch {
		case start:
			return x.createUpload()
		case isUpload:
			return x.completeUpload(upload)
		}
		return errNotImplemented
	case "DELETE":
		if isUpload {
			return x.abortUpload(upload)
		}
		return x.deleteObject()
	}
	return errMethodNotAllowed
}
