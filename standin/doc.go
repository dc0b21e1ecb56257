// Program foxtailstand runs small stand-ins of the systems that foxtaillug
// meets: a model engine, a plain booking service and the platform with its
// configuration service and host list. The packages below it are the same
// stand-ins for use within a test.
package main
