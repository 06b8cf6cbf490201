// Package api holds the protobuf schema of the operator service and the code that buf generates from it.
package api
