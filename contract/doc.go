// Package contract defines the formats that foxtaillug's processes and its
// operators share: the configuration document, the directory that a host
// builds from it, and the status that a host reports.
//
// Operators write a Document in YAML; package parser reads and checks it, and
// package bundler encodes it as the values that operators publish. A
// Document's fields are exported because they are its wire format; the
// Directory, which the daemon uses, has accessors only. The messages between
// hosts are in package peerv1.
package contract
