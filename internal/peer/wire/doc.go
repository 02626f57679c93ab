// Package wire holds the messages and Twirp services between entry instances and towards the operators' client; its code is generated from wire.proto.
package wire
