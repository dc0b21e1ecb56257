// Program foxtailtry runs hosts and stand-ins inside one process.
package main

func main() {}
