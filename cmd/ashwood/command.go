package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"

	"ashwood.example/ashwood/internal/config"
)

// newCommand builds the command line. Without a sub-command the program serves, because the
// platform starts it that way.
func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "ashwood", Short: "A gateway for language-model fleets with separate prefill and decode engines",
		Long: `Routes requests to prefill and decode engines. Without a sub-command it serves.

It is configured by the JSON file that ROUTER_CONFIG names, and by an operator's
TOML file, if ASHWOOD_OPERATOR names one.`,
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error { return run() },
	}
	checkCommand := &cobra.Command{
		Use: "check FILE…", Args: cobra.MinimumNArgs(1), Short: "Check configuration files without serving",
		Long: `Reads each file as the program would at its start: .json the platform's, .toml an
operator's, which is checked against the settings of the last .json file before it.
Each faulty key is named; the exit is 1 if any file is faulty.`,
		RunE: func(cmd *cobra.Command, args []string) error { return checkFiles(cmd, args) },
	}
	configCommand := &cobra.Command{Use: "config", Short: "Work on configuration files"}
	configCommand.AddCommand(checkCommand)
	root.AddCommand(configCommand,
		&cobra.Command{
			Use: "serve", Args: cobra.NoArgs, Short: "Serve until SIGTERM",
			RunE: func(*cobra.Command, []string) error { return run() },
		},
		&cobra.Command{
			Use: "version", Args: cobra.NoArgs, Short: "Print the program's version",
			RunE: func(cmd *cobra.Command, _ []string) error {
				_, err := fmt.Fprintln(cmd.OutOrStdout(), versionText())
				return err
			},
		})
	return root
}

// versionText returns the module's version and the commit that it was built from.
func versionText() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "ashwood, built without version information"
	}
	text := "ashwood " + info.Main.Version + " " + info.GoVersion
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			text += " " + setting.Value
		}
	}
	return text
}

// checkFiles loads each file as serving would and reports all faulty ones.
func checkFiles(cmd *cobra.Command, paths []string) error {
	var errs []error
	var platformConfig *config.Config
	envWith := func(key, path string) func(string) string {
		return func(name string) string {
			if name == key {
				return path
			}
			return os.Getenv(name)
		}
	}
	for _, path := range paths {
		var err error
		switch {
		case strings.HasSuffix(path, ".json"):
			var c config.Config
			if c, err = config.Load(envWith("ROUTER_CONFIG", path)); err == nil {
				platformConfig = &c
			}
		case strings.HasSuffix(path, ".toml") && platformConfig == nil:
			err = errors.New("an operator's file is checked against the platform's: name its .json first")
		case strings.HasSuffix(path, ".toml"):
			_, err = config.LoadOperator(envWith("ASHWOOD_OPERATOR", path), *platformConfig)
		default:
			err = errors.New("the file name ends in neither .json nor .toml")
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", path, err))
			continue
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", path)
	}
	return errors.Join(errs...)
}
