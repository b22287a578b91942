// Command wtcore is the control plane's process; one runs on each machine with a disk.
package main

import (
	"wardtray/config/process"
	"wardtray/platform"
	"wardtray/service"
)

const help = `wtcore is the control plane of a wardtray fleet; it runs on each machine with a disk.

Example:
  wtcore --startup /etc/wardtray/core.json
  wtcore --address 127.0.1.1:7100 --http 127.0.1.1:8100 --zone a --folder data \
         --seed 127.0.1.1:7100 --seed 127.0.2.1:7100 --seed 127.0.3.1:7100`

func main() {
	needs := process.Requirements{Folder: true, Adapters: platform.SettingsReaders("wtcore")}
	service.Main("wtcore", help, needs, platform.NewServer)
}
