// Command acaciastandin runs stand-ins for the external systems that acaciaroute
// uses: the platform, model engines and plain services.
package main
