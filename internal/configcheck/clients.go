package configcheck

import "github.com/mulberrybank/mulberrybank/internal/publish"

// checkClients finds client workspaces that nobody can use, and quotas that contradict
// themselves.
func checkClients(found *findings, clients *publish.ClientWorkspaces) {
	withKey := make(map[string]bool)
	for _, client := range clients.Keys() {
		withKey[client.Name] = true
	}
	for client := range clients.All() {
		place := "client workspace " + client.Name
		if !withKey[client.Name] {
			found.add(ClientWithoutKey, place, "it has no API key, so no caller can use it")
		}
		if client.Rate > 0 && client.Burst < 1 {
			found.add(BurstBelowOne, place, "burst %g is below one request and counts as one", client.Burst)
		}
		if client.Rate == 0 && client.Burst > 0 {
			found.add(BurstWithoutRate, place, "burst %g has no effect without a rate", client.Burst)
		}
	}
}
