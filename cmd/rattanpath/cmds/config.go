package cmds

import (
	"fmt"
	"strings"
	"time"

	"rattanpath/change"
	"rattanpath/config"
	"rattanpath/node"
)

// configCommand groups the commands on declarations.
type configCommand struct {
	Check   checkCommand   `cmd:"" help:"Merge and check a folder without publishing it."`
	Show    showCommand    `cmd:"" help:"Show the merged folder with the file and line of each value."`
	Explain explainCommand `cmd:"" help:"Explain settings: value, origin, overridden values and effect."`
	Diff    diffCommand    `cmd:"" help:"Show what publishing a folder would change."`
	Fetch   fetchCommand   `cmd:"" help:"Write the files of the active configuration to a folder, for editing and publishing."`
	Publish publishCommand `cmd:"" help:"Publish a folder as the active configuration."`
}

func loadFolder(dir string) (*config.Declaration, error) {
	files, err := config.ReadFolder(dir)
	if err != nil {
		return nil, err
	}
	return config.Load(files)
}

// checkCommand checks a folder.
type checkCommand struct {
	Dir string `arg:"" help:"Folder of declaration files."`
}

// Run prints a summary of a valid folder, or fails with its problems.
func (c *checkCommand) Run(e *env) error {
	declaration, err := loadFolder(c.Dir)
	if err != nil {
		return err
	}
	summary := checkSummary{
		Files:    len(declaration.Files),
		Hosts:    len(declaration.Hosts),
		Pools:    len(declaration.Config.Pools),
		Services: len(declaration.Config.Services),
	}
	text := fmt.Sprintf("%d files are valid: %d hosts, %d pools, %d services\n", summary.Files, summary.Hosts, summary.Pools, summary.Services)
	return e.print(summary, text)
}

type checkSummary struct {
	Files    int
	Hosts    int
	Pools    int
	Services int
}

// showCommand shows a merged folder.
type showCommand struct {
	Dir string `arg:"" help:"Folder of declaration files."`
}

// Run prints the merged folder.
func (c *showCommand) Run(e *env) error {
	declaration, err := loadFolder(c.Dir)
	if err != nil {
		return err
	}
	text, err := config.Show(declaration.Tree)
	if err != nil {
		return err
	}
	return e.print(declaration.Config, text)
}

// explainCommand explains settings.
type explainCommand struct {
	Dir  string `arg:"" help:"Folder of declaration files."`
	Path string `arg:"" optional:"" help:"Setting or group of settings, such as Services.ReadingRoom.Queue."`
}

// Run prints an explanation of each setting at or below the path.
func (c *explainCommand) Run(e *env) error {
	declaration, err := loadFolder(c.Dir)
	if err != nil {
		return err
	}
	explanations, err := declaration.Explain(c.Path)
	if err != nil {
		return err
	}
	var text strings.Builder
	for _, explanation := range explanations {
		text.WriteString(explanation.Text())
	}
	return e.print(explanations, text.String())
}

// platformFlags are the flags of commands that read or write the record stream.
type platformFlags struct {
	Platform   string        `help:"URL of the platform's log and host list." env:"RATTANPATH_PLATFORM" default:"http://127.0.0.1:7100"`
	Stream     string        `help:"Name of the record stream." env:"RATTANPATH_STREAM" default:"rattanpath"`
	LogTimeout time.Duration `help:"Timeout of a call to the platform." env:"RATTANPATH_LOG_TIMEOUT" default:"2s"`
}

func (p *platformFlags) publisher() *change.Publisher {
	return change.NewPublisher(node.NewStreams(p.Platform, p.Stream, p.LogTimeout, nil))
}

// diffCommand compares a folder with the active configuration.
type diffCommand struct {
	platformFlags
	Dir string `arg:"" help:"Folder of declaration files."`
}

// Run prints the changes that publishing the folder would make.
func (c *diffCommand) Run(e *env) error {
	declaration, err := loadFolder(c.Dir)
	if err != nil {
		return err
	}
	state, err := c.publisher().Current(e.ctx)
	if err != nil {
		return err
	}
	changes := config.Diff(state.Declaration(), declaration)
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "against revision %d: %d changes\n", state.Revision, len(changes))
	for _, change := range changes {
		text.WriteString(change.String() + "\n")
	}
	return e.print(changes, text.String())
}
