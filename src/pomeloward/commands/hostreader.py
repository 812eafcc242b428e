"""Reads HTTP endpoints of hosts, for the operators' programs."""

import argparse
import collections.abc
import pathlib

import anyio
import httpx

from pomeloward import catalog
from pomeloward import origin

# A host that does not answer within this time is shown as silent.
REQUEST_TIMEOUT_S = 3.0
# Bounds open sockets when a whole fleet is read.
MAX_PARALLEL_REQUESTS = 32


def add_host_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments that name hosts, by URL or by a configuration."""
    parser.add_argument(
        "hosts", nargs="*", metavar="URL", help="http://address:port of hosts"
    )
    add_configuration_arguments(parser.add_mutually_exclusive_group())


def add_configuration_arguments(
    group: "argparse._MutuallyExclusiveGroup",
) -> None:
    """Add the arguments that name a configuration's file or platform."""
    group.add_argument("--configuration", type=pathlib.Path, metavar="FILE")
    group.add_argument("--platform", metavar="URL")


def read_configuration(parsed: argparse.Namespace) -> catalog.Configuration:
    """Return the configuration of the named file or platform."""
    if parsed.configuration is not None:
        return catalog.parse_file(parsed.configuration.read_bytes())
    return anyio.run(_read_published, parsed.platform)


def host_urls(parsed: argparse.Namespace) -> list[str]:
    """Return the URLs of the hosts that were named or are configured."""
    base_urls = [url.rstrip("/") for url in parsed.hosts]
    if parsed.configuration is not None or parsed.platform:
        for host in read_configuration(parsed).hosts():
            address = host.address
            if ":" in address:
                address = f"[{address}]"
            base_urls.append(f"http://{address}:{host.caller_port}")
    return sorted(set(base_urls))


def get_from_hosts(
    base_urls: collections.abc.Sequence[str], path: str
) -> dict[str, httpx.Response | None]:
    """Return the response of each URL; None for a host without an answer."""
    return anyio.run(_get_from_hosts, base_urls, path)


async def _read_published(platform_url: str) -> catalog.Configuration:
    async with httpx.AsyncClient(trust_env=False) as client:
        platform = origin.HttpPlatform(client, platform_url)
        return await catalog.read_published(platform)


async def _get_from_hosts(
    base_urls: collections.abc.Sequence[str], path: str
) -> dict[str, httpx.Response | None]:
    limiter = anyio.CapacityLimiter(MAX_PARALLEL_REQUESTS)
    responses: dict[str, httpx.Response | None] = dict.fromkeys(base_urls)

    async def get(base_url: str) -> None:
        async with limiter:
            try:
                responses[base_url] = await client.get(base_url + path)
            except (httpx.HTTPError, httpx.InvalidURL):
                responses[base_url] = None

    async with (
        httpx.AsyncClient(
            timeout=REQUEST_TIMEOUT_S, trust_env=False
        ) as client,
        anyio.create_task_group() as task_group,
    ):
        for base_url in base_urls:
            task_group.start_soon(get, base_url)
    return responses
