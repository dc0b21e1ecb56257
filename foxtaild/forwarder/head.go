package forwarder

import "strconv"

// AppendRequestLine appends the request line and the Host header to b.
func AppendRequestLine(b []byte, method, target, host string) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\n"...)
	return AppendHeader(b, "Host", host)
}

// AppendHeader appends one header line.
func AppendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// AppendEnd appends the Content-Length header, unless a GET or HEAD request has
// no body, and the empty line that ends the head.
func AppendEnd(b []byte, method string, length int) []byte {
	if length > 0 || method != "GET" && method != "HEAD" {
		b = AppendHeader(b, "Content-Length", strconv.Itoa(length))
	}
	return append(b, "\r\n"...)
}
