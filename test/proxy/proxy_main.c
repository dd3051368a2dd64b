/* fault_proxy - a TCP proxy that delays, holds or breaks connections on
   command; the commands are listed at rule_parse.  */

#include "proxy.h"
#include "support.h"
#include <argtable2.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ADDRESS "127.0.0.1"

/* A listening socket whose port was named in its bind: the kernel takes the
   port away from others when they are shut down, as RULE_CUT does.  */
static int
listen_to_keep (uint16_t *port)
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
  listen_fd = listen_to_keep (&port);
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
      = arg_int0 (NULL, "control-port", "P", "for commands");
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
