// Program foxtailstand runs a stand-in for one of the systems that foxtaillug
// works with: a model engine, a plain booking service, or the platform with its
// configuration service and host list. Tests use the same stand-ins through the
// packages below it.
package main
