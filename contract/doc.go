// Package contract holds what foxtaillug's processes and operators agree on:
// the configuration document and the directory that a host makes of it.
//
// Operators write a Document in YAML; package parser reads and checks it,
// package bundler turns it into the values they publish. A Document's fields
// are exported because they are its wire format; the Directory, which the
// daemon works with, has accessors only. Messages between hosts are in
// package peerv1.
package contract
