#include "base/host_port.h"

#include <arpa/inet.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#define MAX_PORT_DIGITS 5

static bool is_digit(char c)
{
	return c >= '0' && c <= '9';
}

static bool is_name_char(char c)
{
	return is_digit(c) || (c >= 'a' && c <= 'z') ||
	       (c >= 'A' && c <= 'Z') || c == '.' || c == '-' || c == '_';
}

static bool is_port(const char *text, size_t len)
{
	uint32_t port = 0;

	if (!len || len > MAX_PORT_DIGITS)
		return false;
	for (size_t i = 0; i < len; i++) {
		if (!is_digit(text[i]))
			return false;
		port = port * 10 + (uint32_t)(text[i] - '0');
	}
	return port && port <= UINT16_MAX;
}

static enum host_port_kind classify_ipv6(const char *host, size_t len)
{
	char literal[INET6_ADDRSTRLEN];
	struct in6_addr ipv6;

	if (len < 2 || host[len - 1] != ']' || len - 2 >= sizeof(literal))
		return HOST_PORT_INVALID;
	memcpy(literal, host + 1, len - 2);
	literal[len - 2] = '\0';
	if (strlen(literal) < len - 2)
		return HOST_PORT_INVALID;
	return inet_pton(AF_INET6, literal, &ipv6) == 1 ? HOST_PORT_NUMERIC
							: HOST_PORT_INVALID;
}

static enum host_port_kind classify_host(const char *host, size_t len)
{
	char name[HOST_PORT_BYTES];
	const char *label;
	struct in_addr ipv4;

	if (!len)
		return HOST_PORT_INVALID;
	if (*host == '[')
		return classify_ipv6(host, len);
	for (size_t i = 0; i < len; i++)
		if (!is_name_char(host[i]))
			return HOST_PORT_INVALID;
	memcpy(name, host, len);
	name[len] = '\0';
	if (inet_pton(AF_INET, name, &ipv4) == 1)
		return HOST_PORT_NUMERIC;
	/* libcurl reads 127.1, 2130706433 and 0x7f000001 as IPv4 addresses. */
	label = strrchr(name, '.');
	label = label ? label + 1 : name;
	return !*label || is_digit(*label) ? HOST_PORT_INVALID : HOST_PORT_NAME;
}

enum host_port_kind host_port_classify(const char *text, size_t len)
{
	size_t host_len = len;

	if (len >= HOST_PORT_BYTES)
		return HOST_PORT_INVALID;
	while (host_len && text[host_len - 1] != ':')
		host_len--;
	if (!host_len || !is_port(text + host_len, len - host_len))
		return HOST_PORT_INVALID;
	return classify_host(text, host_len - 1);
}
