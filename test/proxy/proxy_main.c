/* fault_proxy - a TCP proxy that delays, stalls or resets connections on
   command; rule_parse lists the commands.  */

#include "proxy.h"
#include "support.h"
#include <argtable2.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ADDRESS "127.0.0.1"

/* Listens on an explicitly bound port.  RULE_CUT shuts the listening socket
   down, and the kernel then releases a port that it has chosen itself.  */
static int
listen_on_fixed_port (uint16_t *port)
{
  if (*port == 0)
    close (support_listen (ADDRESS, port));
  return support_listen (ADDRESS, port);
}

static int
run (uint16_t port, uint16_t control_port, const char *to, const char *ready)
{
  g_auto (GStrv) parts = g_strsplit (to, ":", 2);
  g_autofree char *text = NULL;
  uint64_t to_port;
  int listen_fd;
  int control_fd;

  if (g_strv_length (parts) != 2
      || !g_ascii_string_to_unsigned (parts[1], 10, 1, 65535, &to_port, NULL))
    {
      fprintf (stderr, "fault_proxy: --to: expected HOST:PORT\n");
      return EXIT_FAILURE;
    }
  listen_fd = listen_on_fixed_port (&port);
  control_fd = support_listen (ADDRESS, &control_port);
  text = g_strdup_printf ("port %u\ncontrol_port %u\n", port, control_port);
  support_write_ready_file (ready, text);
  relay_run (listen_fd, control_fd, parts[0], (uint16_t)to_port);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  struct arg_int *port = arg_int0 (NULL, "listen-port", "P", "for clients");
  struct arg_int *control
      = arg_int0 (NULL, "control-port", "P", "command port (0: any)");
  struct arg_str *to = arg_str1 (NULL, "to", "HOST:PORT", "server");
  struct arg_str *ready = arg_str0 (NULL, "ready", "FILE",
                                    "gets \"port N\" and \"control_port N\"");
  struct arg_end *end = arg_end (10);
  void *table[] = { port, control, to, ready, end };
  int status;

  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, argv[0]);
      return EXIT_FAILURE;
    }
  support_block_signals ();
  status = run (port->count ? (uint16_t)port->ival[0] : 0,
                control->count ? (uint16_t)control->ival[0] : 0, to->sval[0],
                ready->count ? ready->sval[0] : NULL);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
