// Command acaciastandin runs the stand-ins for the systems outside: the
// platform, model engines and plain services.
package main
