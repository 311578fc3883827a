// Package cicadacase has what the scripts of the second review share: stand-ins for the platform's store,
// for runners and for callers, and the start of the project's own routers as separate processes. Each
// stand-in speaks the published protocol on loopback addresses.
package cicadacase
