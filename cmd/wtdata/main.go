// Command wtdata is the data daemon: it accepts requests from clients and relays the runners' response streams.
package main

import (
	"wardtray/config/process"
	"wardtray/platform"
	"wardtray/service"
)

const help = `wtdata is the data plane of a wardtray fleet; it runs on every machine.

Example:
  wtdata --startup /etc/wardtray/data.json
  wtdata --address 127.0.1.1:7200 --http 127.0.1.1:8200 --zone a --platform http://127.0.9.1:9000/runners \
         --seed 127.0.1.1:7100 --seed 127.0.2.1:7100 --seed 127.0.3.1:7100`

func main() {
	needs := process.Requirements{Platform: true, Adapters: platform.SettingsReaders("wtdata")}
	service.Main("wtdata", help, needs, platform.NewDaemon)
}
